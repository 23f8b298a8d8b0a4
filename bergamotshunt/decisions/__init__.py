"""Pure decisions: typed state, explicit time and randomness, no I/O."""
