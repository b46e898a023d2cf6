"""HTTP/1.1 client and server for all external interfaces: h11 on curio."""
