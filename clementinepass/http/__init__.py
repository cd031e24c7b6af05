"""HTTP/1.1 on the event loop: a server for callers and a client."""
