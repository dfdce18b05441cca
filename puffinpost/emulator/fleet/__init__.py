"""A simulated fleet: real coordinators and balancers on a virtual clock, and the drain rule over them."""
