"""Decision logic without I/O; time and randomness are passed in."""
