"""Orders engines to load the models that their documents say they serve.

An engine that was restarted has no model loaded, and an engine whose document was
edited has not loaded the new model yet. Both refuse every call until they are ordered
to load the model; without this module an operator would have to do so.
"""

import logging
import threading
from collections.abc import Callable

from swifttide_core.documents import Target
from swifttide_daemon.targets import EngineClient

log = logging.getLogger(__name__)


class ModelLoader:
    """Orders missing models in the background, one order per target and model.

    Parameters
    ----------
    engines : EngineClient
    fencing : callable
        Returns the version of the configuration as fencing token. An engine that
        checks it refuses an order from a host with an outdated configuration.
    """

    def __init__(self, engines: EngineClient, fencing: Callable[[], int]) -> None:
        self.engines = engines
        self.fencing = fencing
        self._loading: set[tuple[str, str]] = set()
        self._lock = threading.Lock()

    def load_in_background(self, target: Target, model: str) -> None:
        """Order a model in the background, unless such an order is already running.

        Loading takes long, so the call that needs the model does not wait: it goes to
        another target or is refused with a retry time.
        """
        order = (target.name, model)
        with self._lock:
            if order in self._loading:
                return
            self._loading.add(order)
        threading.Thread(target=self._load, args=(target, model), daemon=True).start()

    def _load(self, target: Target, model: str) -> None:
        try:
            loaded = self.engines.load_model(target, model, self.fencing())
            log.info("model_ordered", extra={"target": target.name, "loaded": loaded})
        finally:
            with self._lock:
                self._loading.discard((target.name, model))
