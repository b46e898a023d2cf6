"""HTTP/1.1 for every outer interface: h11 on curio."""
