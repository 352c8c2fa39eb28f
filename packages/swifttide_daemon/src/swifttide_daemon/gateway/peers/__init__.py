"""The other hosts: which there are, what they tell and what they do for each other."""
