"""The whole path in one run: weights out, requests in, an agent leaving."""

from __future__ import annotations

import concurrent.futures
import pathlib
import random
import sys
import tempfile
import time
import typing

import cyclopts
import msgspec

from standins import system as systems

_VERSION = 'faults-1'
_WEIGHTS = 4 * 1024 * 1024
_TOKENS = 120
_PROMPT = 'Barrier 12 in Musanze stays open after the train has passed.'
_EXIT_FAILED = 1
_OK = 200
#: Seconds in which an entry takes requests after agents serve; it reads the log
#: by long reads of a second.
_READY_SECONDS = 10.0
_LOOK_SECONDS = 0.05


class Steps:
    """Print a line of progress for each step, and know the present one."""

    def __init__(self) -> None:
        #: The step under way.
        self.current = 'begin'
        self._began = time.monotonic()
        self._started = self._began

    def begin(self, step: str) -> None:
        """Note the next step."""
        self.current = step
        self._began = time.monotonic()

    def done(self, detail: str = '') -> None:
        """Print the step that is done, with the time that it took."""
        seconds = time.monotonic() - self._began
        print(f'[{seconds:6.2f} s] {self.current}  {detail}', flush=True)

    def total(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self._started


def main(*, keep: bool = False) -> None:
    """Run the whole path on this machine.

    :param keep: leave the system up and print what to try next.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix='clementinepass-'))
    steps = Steps()
    system = systems.System(folder=folder)
    try:
        run(system, steps)
    except Exception as error:
        print(f'failed at step: {steps.current}')
        print(f'peer or cause:  {error}')
        print(f'logs:           {folder}')
        system.stop()
        sys.exit(_EXIT_FAILED)
    if keep:
        wait_for_enter(system)
    system.stop()
    print(f'all steps passed in {steps.total():.1f} s; logs: {folder}')


def run(system: systems.System, steps: Steps) -> None:
    """Take every step once."""
    steps.begin('start 4 platform stand-ins, 4 endpoints, 4 agents, 2 entries')
    system.start()
    steps.done()
    steps.begin('put the weights into store and origin')
    manifest = system.publish_weights(
        _VERSION, random.Random(7).randbytes(_WEIGHTS)
    )
    steps.done(f'{_WEIGHTS} bytes, manifest {manifest[:12]}')
    steps.begin('check and publish the configuration folder')
    folder = system.write_configuration(_VERSION, manifest)
    revision = system.publish_configuration(folder)
    steps.done(f'revision {revision} accepted')
    steps.begin('every replica serves the version')
    system.await_serving(_VERSION)
    steps.done(_origin_copies(system))
    _serve_requests(system, steps)
    _drain_agent(system, steps)


def wait_for_enter(system: systems.System) -> None:
    """Leave the system up until a person is done with it."""
    entry = system.callers['entry-0']
    print(f'\nentries:     {", ".join(system.callers.values())}')
    print(f'log service: {system.addresses["log"]}')
    print(f'folder:      {system.folder / "configuration"}')
    print('\ntry next, from another terminal:')
    print(
        f'  curl -N http://{entry}/v1/completions '
        f"-H 'Authorization: Bearer {systems.KEY}' "
        "-H 'Content-Type: application/json' "
        f'-d \'{{"model": "{systems.MODEL}", "prompt": "lamp 3", '
        '"stream": true}\'',
    )
    print(f'  .venv/bin/clementinepass status --entry {entry}')
    print(
        '  .venv/bin/clementinepass config history '
        f'--log {system.addresses["log"]}',
    )
    input('\npress Enter to stop the system\n')


def _origin_copies(system: systems.System) -> str:
    counters = msgspec.json.decode(
        system.request('origin', 'GET', '/v1/counters'),
    )
    copies = counters['bytes'] / _WEIGHTS
    return f'{copies:.2f} copies read from the origin for 3 replicas'


def _listed_entries(system: systems.System) -> list[dict[str, str]]:
    """Return the entries that one names, once it takes requests.

    Failure: on a busy machine all agents served before the entry had read the
    log. It answered that it was starting, and the run ended there.

    :raises TimeoutError: it never took any.
    """
    deadline = time.monotonic() + _READY_SECONDS
    while True:
        answer = system.call('entry-0', 'GET', '/v1/entries')
        if answer.status == _OK:
            return list(msgspec.json.decode(answer.body)['entries'])
        if time.monotonic() > deadline:
            raise TimeoutError(f'entry-0 still answers {answer.status}')
        time.sleep(_LOOK_SECONDS)


def _serve_requests(system: systems.System, steps: Steps) -> None:
    steps.begin('ask an entry which addresses to use')
    listed = _listed_entries(system)
    steps.done(', '.join(one['address'] for one in listed))
    steps.begin('a whole completion')
    whole = system.call('entry-0', 'POST', '/v1/completions', _body(6))
    _expect(whole, 200)
    text = msgspec.json.decode(whole.body)['choices'][0]['text']
    steps.done(f'answer: {text}')
    steps.begin('a streamed completion through the other entry')
    streamed = system.call(
        'entry-1',
        'POST',
        '/v1/completions',
        _body(6, stream=True),
    )
    _expect(streamed, 200)
    _expect_whole(streamed, 6)
    steps.done(f'{streamed.body.count(b"data: ")} events, the end mark last')
    steps.begin('file a dispatch twice with one key, through two entries')
    answers = [
        system.call(
            entry,
            'POST',
            f'/v1/services/{systems.SERVICE}/crews',
            b'{"crossing": 12}',
            {'Idempotency-Key': 'dispatch-12'},
        )
        for entry in ('entry-0', 'entry-1')
    ]
    for answer in answers:
        _expect(answer, 200)
    if answers[0].body != answers[1].body:
        raise RuntimeError('the repeat got another answer')
    steps.done(f'both got: {answers[0].body.decode()}')


def _drain_agent(system: systems.System, steps: Steps) -> None:
    steps.begin('an agent leaves while it runs streams')
    with concurrent.futures.ThreadPoolExecutor() as pool:
        streams = [
            pool.submit(
                system.call,
                'entry-0',
                'POST',
                '/v1/completions',
                _body(_TOKENS, stream=True),
            )
            for _ in range(12)
        ]
        system.await_status(_all_running, 'every engine runs a stream')
        system.by_name['agent-0'].terminate()
        for stream in streams:
            _expect(stream.result(), 200)
            _expect_whole(stream.result(), _TOKENS)
    code = system.by_name['agent-0'].wait()
    if code:
        raise RuntimeError(f'agent-0 ended with exit code {code}')
    steps.done('12 streams whole, the agent ended with exit code 0')


def _all_running(status: typing.Any) -> bool:
    running = [
        agent['state']['running']
        for agent in status['agents']
        if agent['state'] and agent['state']['kind'] == 'engine'
    ]
    return min(running) > 0


def _body(tokens: int, *, stream: bool = False) -> bytes:
    return msgspec.json.encode(
        {
            'model': systems.MODEL,
            'prompt': _PROMPT,
            'max_tokens': tokens,
            'stream': stream,
        },
    )


def _expect(answer: systems.Answer, status: int) -> None:
    if answer.status != status:
        raise RuntimeError(f'{answer.status} {answer.body.decode()}')


def _expect_whole(answer: systems.Answer, tokens: int) -> None:
    events = answer.body.count(b'data: ')
    if events != tokens + 1 or not answer.body.endswith(b'[DONE]\n\n'):
        raise RuntimeError(f'truncated after {events} events')


if __name__ == '__main__':
    cyclopts.run(main)
