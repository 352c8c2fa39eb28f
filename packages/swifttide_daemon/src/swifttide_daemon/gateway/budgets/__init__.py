"""Token budgets of programs, granted through the store and lent during its outages."""
