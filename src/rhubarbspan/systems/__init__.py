"""Systems: one decision each, run over the tables in every tick, free of I/O."""
