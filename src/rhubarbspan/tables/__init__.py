"""Tables of entities: keyed rows of plain data, with their indexes."""
