"""Load tool, measurements and the fault matrix."""
