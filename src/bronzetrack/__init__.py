"""Serving layer for a large number of LoRA adapters."""

from __future__ import annotations

__version__ = "0.1.0"
