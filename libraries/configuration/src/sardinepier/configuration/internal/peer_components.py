"""Wires the components that exchange files with peers."""

import random

from sardinepier.configuration import options, store
from sardinepier.configuration.internal import (
    change_push,
    confirmations,
    peer_answers,
    peer_choice,
    peer_exchange,
    store_writer,
)
from sardinepier.core import clock as clocks
from sardinepier.membership import view
from sardinepier.wire import network


class PeerComponents:
    """The components that answer, notify and query peers."""

    def __init__(
        self,
        file_store: store.Store,
        peers: network.PeerNetwork,
        current_view: view.View,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: options.DistributorOptions,
        file_writer: store_writer.StoreWriter,
        file_confirmations: confirmations.Confirmations,
    ) -> None:
        """Subscribe to all message kinds; nothing is sent yet."""
        self.choice = peer_choice.PeerChoice(current_view, random_source)
        self.answers = peer_answers.PeerAnswers(file_store, peers)
        self.change_push = change_push.ChangePush(
            file_store,
            peers,
            self.choice,
            limits,
        )
        self.exchange = peer_exchange.PeerExchange(
            file_store,
            peers,
            self.choice,
            clock,
            random_source,
            limits,
            file_writer,
            file_confirmations,
        )
