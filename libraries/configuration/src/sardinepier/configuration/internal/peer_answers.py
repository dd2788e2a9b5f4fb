"""Answers the requests of peers for revisions and files."""

from collections.abc import Iterable

from sardinepier.configuration import messages, store
from sardinepier.core import ids
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network


class PeerAnswers:
    """Serves revision tables and file versions from a store."""

    def __init__(
        self,
        file_store: store.Store,
        peers: network.PeerNetwork,
    ) -> None:
        """Subscribe to both kinds of requests."""
        self._store = file_store
        self._peers = peers
        peers.subscribe(messages.RevisionTableRequest, self._on_table_request)
        peers.subscribe(messages.FileRequest, self._on_file_request)

    def _on_table_request(
        self,
        sender: wire_messages.Sender,
        request: messages.RevisionTableRequest,
    ) -> None:
        mark = self._store.mark()
        names = () if request.mark == mark else self._store.known()
        answer = messages.RevisionTable(
            request.nonce,
            mark,
            known_revisions(self._store, names),
        )
        self._peers.send(sender.address, answer)

    def _on_file_request(
        self,
        sender: wire_messages.Sender,
        request: messages.FileRequest,
    ) -> None:
        version = self._store.find(request.name).find(request.revision)
        if version is None:
            return
        answer = messages.FileAnswer(
            request.name,
            version.revision,
            version.text,
        )
        self._peers.send(sender.address, answer)


def known_revisions(
    file_store: store.Store,
    names: Iterable[ids.FileName],
) -> tuple[messages.KnownRevision, ...]:
    """Return the revisions of ``names`` in ``file_store``, without texts."""
    return tuple(_known_revision(file_store, name) for name in names)


def _known_revision(
    file_store: store.Store,
    name: ids.FileName,
) -> messages.KnownRevision:
    known = file_store.find(name)
    return messages.KnownRevision(
        name,
        known.newest_revision,
        known.in_force_revision,
        known.is_deleted,
    )
