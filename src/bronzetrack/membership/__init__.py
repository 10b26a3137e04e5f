"""Which VMs live and which are leaving."""
