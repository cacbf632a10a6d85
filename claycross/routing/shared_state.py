"""The state that the components of one router share."""

from __future__ import annotations

from dataclasses import dataclass

from ..fleet.load_gossip import LoadGossip
from ..interface import Settings
from .action_queue import ActionQueue
from .latency_prediction import LatencyPredictor
from .load_estimation import LoadEstimator
from .outlier_detection import OutlierDetector
from .prefix_cache import PrefixCacheIndex
from .reachability import Reachability
from .request_table import RequestTable


@dataclass(frozen=True, slots=True)
class SharedState:
    """References to the shared state; each object is changed only by its own methods."""

    settings: Settings
    gossips: bool  # this gateway sends load gossip
    actions: ActionQueue
    table: RequestTable
    load_gossip: LoadGossip
    prefix_cache: PrefixCacheIndex
    health: OutlierDetector
    reachability: Reachability
    loads: LoadEstimator
    predictor: LatencyPredictor
