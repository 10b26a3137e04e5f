"""Configuration that operators publish: the inventory and the rules."""
