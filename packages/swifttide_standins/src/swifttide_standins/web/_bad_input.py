"""The error that a handler raises for a request it can't serve."""


class BadInput(Exception):
    """A request that is answered with a 4xx.

    Parameters
    ----------
    detail : str
        One sentence with the got and the expected value.
    status : int
        HTTP status, 400 to 499.
    """

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.detail = detail
        self.status = status
