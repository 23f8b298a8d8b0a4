"""Load generator, measurements, fault matrix and simulation."""
