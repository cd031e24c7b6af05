"""HTTP/1.1 on the event loop: one front for callers and one client."""
