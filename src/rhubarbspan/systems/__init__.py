"""Systems: each makes one kind of decision over the tables per tick, without I/O."""
