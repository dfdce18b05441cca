"""Agreement on sockets and disk. `node` drives a member; begin there. `frames` and `links` are what nodes
speak over, `store` what they have on disk, `status` and `operator` what operators ask.
"""
