"""Tables of entities: keyed rows that hold data only, with the indexes they need."""
