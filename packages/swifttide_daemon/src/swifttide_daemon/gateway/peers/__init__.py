"""Communication between hosts: membership, periodic state beacons and calls."""
