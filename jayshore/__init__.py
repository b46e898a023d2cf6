"""A cluster scheduler for heterogeneous workloads shared by many teams."""
