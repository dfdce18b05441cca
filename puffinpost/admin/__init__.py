"""Operators' requests to a node's admin server, and the file that stores their bans."""
