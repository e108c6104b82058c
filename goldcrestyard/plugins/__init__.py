"""Features; each sub-package registers itself with the kernel."""
