"""A poor link on loopback: a proxy that delays, stalls, narrows and cuts what passes."""
