"""Runs of attempts at the endpoint, each in a thread of its own."""

from __future__ import annotations

import threading
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.endpoints import protocols
from clementinepass.requests import identity, streams

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.wire import bridge as bridges
    from clementinepass.wire import messages

_SECOND = 1000


class Run:
    """One attempt at the endpoint and the frames of its answer.

    Its methods run on the event loop, but for :meth:`execute`.

    :param on_frames: called when frames were added.
    :param on_finished: called once, when the endpoint is done with it.
    """

    def __init__(
        self,
        dispatch: messages.Dispatch,
        *,
        on_frames: Callable[[], None],
        on_finished: Callable[[Run], None],
    ) -> None:
        #: What identifies the attempt.
        self.key = identity.AttemptKey(dispatch.request_id, dispatch.attempt)
        #: What the entry asked for.
        self.dispatch = dispatch
        #: Frames that the entry has not confirmed yet.
        self.buffer = streams.StreamBuffer(
            dispatch.request_id,
            dispatch.attempt,
        )
        #: The next frame to send on the entry's present connection; ``None``
        #: while the entry has not asked for the answer there.
        self.cursor: int | None = 0
        self._on_frames = on_frames
        self._on_finished = on_finished
        self._cancelled = threading.Event()
        self._answer: protocols.Answer | None = None

    @property
    def cancelled(self) -> bool:
        """Tell whether nobody wants the answer any more."""
        return self._cancelled.is_set()

    def cancel(self) -> None:
        """Give the attempt up."""
        self._cancelled.set()
        if self._answer is not None:
            self._answer.close()

    def fail(self, execution: errors.Execution, detail: str) -> None:
        """End the answer with a failure."""
        self.buffer.fail(execution, streams.Failure(detail))
        self._on_frames()

    def finish(self) -> None:
        """Note that the endpoint is done with the attempt."""
        self._on_finished(self)

    def begin(self, head: protocols.AnswerHead) -> None:
        """Add the head of the answer."""
        self.buffer.head(head.status, head.content_type)
        self._on_frames()

    def add(self, part: bytes) -> None:
        """Add a piece of the answer's body."""
        self.buffer.part(part)
        self._on_frames()
        if self.buffer.overflowed:
            self.cancel()

    def end(self) -> None:
        """Add the end mark."""
        self.buffer.end()
        self._on_frames()

    def answer(self, head: protocols.AnswerHead, body: bytes) -> None:
        """Add a whole answer."""
        self.begin(head)
        self.add(body)
        self.end()

    def crash(self, crash: str, detail: str) -> None:
        """End the answer: the endpoint died with it."""
        self.buffer.fail(
            errors.Execution.MAY_HAVE_RUN,
            streams.Failure(detail, crash),
        )
        self._on_frames()

    def attach_answer(self, answer: protocols.Answer) -> None:
        """Remember the answer under way, so that a cancel can close it."""
        self._answer = answer


class VersionCheck(typing.Protocol):
    """Reads back which version the endpoint serves."""

    def serves(self, version: str) -> bool:
        """Tell whether the endpoint serves ``version`` now; blocks."""


class CrashWatch(typing.Protocol):
    """Tells an endpoint's death from a failed call."""

    def crash_of(self, failure: errors.EndpointError) -> str:
        """Return the crash's id; empty while the endpoint lives; blocks."""


class Executor:
    """Run attempts at the endpoint.

    :param endpoint: the engine or service.
    :param bridge: where runs take their threads from.
    :param version_check: asked before each run.
    :param crash_watch: asked after each failed run.
    """

    def __init__(
        self,
        endpoint: protocols.Endpoint,
        bridge: bridges.Bridge,
        version_check: VersionCheck,
        crash_watch: CrashWatch,
    ) -> None:
        self._endpoint = endpoint
        self._bridge = bridge
        self._version_check = version_check
        self._crash_watch = crash_watch

    async def execute(self, run: Run) -> None:
        """Run one attempt to its end."""
        try:
            await self._bridge.block(self._run, run)
        finally:
            run.finish()

    def _run(self, run: Run) -> None:
        post = self._bridge.post
        try:
            self._relay(run)
        except errors.EndpointError as error:
            self._report(run, error)
        except Exception as error:
            # Whatever went wrong here, the caller must not wait for frames
            # that never come.
            logger.bind(
                request_id=run.key.request_id,
                attempt=run.key.attempt,
                team=run.dispatch.team,
                step='run',
                peer=run.dispatch.target,
            ).exception('fault')
            post(run.fail, errors.Execution.MAY_HAVE_RUN, repr(error))

    def _relay(self, run: Run) -> None:
        post = self._bridge.post
        dispatch = run.dispatch
        # Not all engines refuse an old fencing number: a paused agent's late
        # order can change what is served at any time, so it is read back
        # before each run, and a mismatch ends the attempt as not run.
        if dispatch.version and not self._version_check.serves(
            dispatch.version,
        ):
            post(run.fail, errors.Execution.NOT_RUN, 'version changed')
            return
        if run.cancelled:
            post(run.fail, errors.Execution.NOT_RUN, 'cancelled')
            return
        answer = self._endpoint.call(_to_call(dispatch))
        post(run.attach_answer, answer)
        if not dispatch.stream:
            # In one piece: the entry holds such an answer until it is whole,
            # so more pieces would only be more messages.
            post(run.answer, answer.head, b''.join(answer.parts()))
            return
        post(run.begin, answer.head)
        for part in answer.parts():
            if run.cancelled:
                self._give_up(run, answer)
                return
            post(run.add, part)
        post(run.end)

    def _give_up(self, run: Run, answer: protocols.Answer) -> None:
        self._endpoint.cancel(run.key.request_id)
        answer.close()
        self._bridge.post(
            run.fail,
            errors.Execution.MAY_HAVE_RUN,
            'cancelled',
        )

    def _report(self, run: Run, error: errors.EndpointError) -> None:
        if run.cancelled:
            self._endpoint.cancel(run.key.request_id)
            self._bridge.post(run.fail, error.execution, 'cancelled')
            return
        crash = self._crash_watch.crash_of(error)
        if crash and error.execution is not errors.Execution.NOT_RUN:
            self._bridge.post(run.crash, crash, str(error))
        else:
            self._bridge.post(run.fail, error.execution, str(error))


def _to_call(dispatch: messages.Dispatch) -> protocols.Call:
    return protocols.Call(
        request_id=dispatch.request_id,
        method=dispatch.method,
        path=dispatch.path,
        body=dispatch.body,
        content_type=dispatch.content_type,
        timeout=dispatch.remaining / _SECOND,
        stream=dispatch.stream,
        priority=dispatch.priority,
    )
