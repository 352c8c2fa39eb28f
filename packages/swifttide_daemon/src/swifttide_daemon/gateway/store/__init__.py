"""Access to the rows of the shared store: calls, change feeds and removal of rows."""
