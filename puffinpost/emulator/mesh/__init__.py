"""Many nodes together, with faults between them.

As processes: `scenario` and `play` on a `rig` of `process`es, with `fabric` for the links, `clients`, and
their `history`. On a virtual clock: `virtual`, with faults drawn by `schedule`. In every order of events:
`explore`. `checker` says of each history whether the promises were kept, `plot` draws it.
"""
