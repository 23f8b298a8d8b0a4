"""Plug-ins of the kernel; each module registers its task's factory."""
