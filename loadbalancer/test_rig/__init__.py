"""Many processes of the program on one machine, and what goes wrong between them."""
