"""Trips and delays that the measurements assume."""

OWN_ZONE_TRIP = 0.0005
"""Seconds one way between two hosts of a zone."""

OTHER_ZONE_TRIP = 0.001
"""Seconds one way between zones ("very short" in the brief)."""

SLOW_SHARE = 0.01
"""Share of the trips on which a busy host's thread is held up."""

SLOW_TRIP = 0.03
"""Seconds of such a trip. Others vary around the two above, by half and more."""

LEASE_SECONDS = 12.0
"""Lapse of a host's lease after its last renewal."""

TAKEOVER_SECONDS = 2.0
"""Drift margin and claim after the lapse."""

HANDOVER_SECONDS = 0.05
"""From a planned holder's stop until its successor lends."""

TICK_SECONDS = 0.25
"""How often an entry host gives back what it doesn't use."""

PLAN_SECONDS = 5.0
"""How often a holder looks whether to move a part of its share."""

EDIT_DELAY_SECONDS = 0.5
"""Delay of an edit per zone: zone ``i`` has it after ``i`` times this."""

OFFER_SECONDS = 0.05
"""From a committed offer until the zone that it is for has heard of it."""
