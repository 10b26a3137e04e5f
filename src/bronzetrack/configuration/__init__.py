"""What operators publish: inventory and rules."""
