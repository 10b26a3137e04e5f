"""What VMs tell each other, and what they know of each other."""
