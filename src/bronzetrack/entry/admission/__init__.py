"""Admission control: which requests wait and which are refused."""
