"""Links between nodes, what they keep on disk, and the driver of a node's part in agreement."""
