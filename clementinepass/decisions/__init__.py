"""Pure decision logic: no sockets, no tasks, no clocks."""
