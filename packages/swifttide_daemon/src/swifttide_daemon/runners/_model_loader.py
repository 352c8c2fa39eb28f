"""Orders to load models that operators say an engine serves.

An engine that was restarted has forgotten what it had loaded, and one whose document
was edited hasn't loaded the new model yet. Both refuse each call until somebody tells
them; nobody is awake to do so.
"""

import logging
import threading
from collections.abc import Callable

from swifttide_core.documents import Target
from swifttide_daemon.targets import EngineClient

log = logging.getLogger(__name__)


class ModelLoader:
    """Orders each missing model once at a time.

    Parameters
    ----------
    engines : EngineClient
    fencing : callable
        Returns the configuration's version: an engine that checks it refuses an
        order of a host that doesn't know the newest edit.
    """

    def __init__(self, engines: EngineClient, fencing: Callable[[], int]) -> None:
        self.engines = engines
        self.fencing = fencing
        self._loading: set[tuple[str, str]] = set()
        self._lock = threading.Lock()

    def load_in_background(self, target: Target, model: str) -> None:
        """Order a model in the background, unless this host is doing so already.

        Loading takes long; the call that found it missing goes elsewhere or is
        refused with when to come back.
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
