def print_retries():
    pass
