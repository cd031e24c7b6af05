"""Tokens that a caller can foretell from prompt, version and index."""

from __future__ import annotations

import dataclasses
import hashlib
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

#: The last event of a stream.
DONE = b'data: [DONE]'
#: What each event begins with.
DATA = b'data: '
_EVENT_END = b'\n\n'
_PLAIN = 'text_completion'
_TOKEN_LENGTH = 6


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    content: str
    role: str = 'assistant'


class Choice(msgspec.Struct, frozen=True, omit_defaults=True):
    """The part of an event or of a whole answer that carries text."""

    index: int = 0
    text: str = ''
    #: A chat's text in an event.
    delta: Message | None = None
    #: A chat's text in a whole answer.
    message: Message | None = None
    finish_reason: str | None = None

    @property
    def content(self) -> str:
        """The text, wherever it is kept."""
        message = self.delta or self.message
        return message.content if message else self.text


class CompletionBody(msgspec.Struct, frozen=True):
    """What a caller sends for a completion."""

    prompt: str
    max_tokens: int = 16
    stream: bool = False

    def text(self) -> str:
        """Return the prompt."""
        return self.prompt


class ChatBody(msgspec.Struct, frozen=True):
    """What a caller sends for a chat completion."""

    messages: tuple[Message, ...]
    max_tokens: int = 16
    stream: bool = False

    def text(self) -> str:
        """Return the prompt that the chat amounts to."""
        return '\n'.join(message.content for message in self.messages)


class TokenEvent(msgspec.Struct, frozen=True):
    """One token of a stream."""

    id: str
    object: str
    #: The version that the token comes from.
    version: str
    #: The token's place in the answer, from 0.
    token: int
    choices: tuple[Choice, ...]


class WholeAnswer(msgspec.Struct, frozen=True):
    """A whole answer."""

    id: str
    object: str
    version: str
    #: How many tokens the answer has.
    tokens: int
    choices: tuple[Choice, ...]


def frame(event: bytes) -> bytes:
    """Return an event as it goes over the connection."""
    return b''.join((event, _EVENT_END))


def token(prompt: str, version: str, index: int) -> str:
    """Return the token that follows from prompt, version and index."""
    seed = f'{version}\n{index}\n{prompt}'.encode()
    return '{0} '.format(hashlib.sha256(seed).hexdigest()[:_TOKEN_LENGTH])


def answer_text(prompt: str, version: str, count: int) -> str:
    """Return the whole answer of ``count`` tokens."""
    return ''.join(token(prompt, version, index) for index in range(count))


@dataclasses.dataclass(frozen=True, slots=True)
class Rendering:
    """Encode the answer to one request."""

    request_id: str
    prompt: str
    version: str
    count: int
    chat: bool = False

    def event(self, index: int) -> bytes:
        """Return one token as a server-sent event."""
        last = index + 1 == self.count
        choice = self._choice(
            token(self.prompt, self.version, index),
            'length' if last else None,
            whole=False,
        )
        encoded = msgspec.json.encode(
            TokenEvent(
                id=self.request_id,
                object='chat.completion.chunk' if self.chat else _PLAIN,
                version=self.version,
                token=index,
                choices=(choice,),
            ),
        )
        return frame(b''.join((DATA, encoded)))

    def whole(self) -> WholeAnswer:
        """Return the whole answer."""
        text = answer_text(self.prompt, self.version, self.count)
        return WholeAnswer(
            id=self.request_id,
            object='chat.completion' if self.chat else _PLAIN,
            version=self.version,
            tokens=self.count,
            choices=(self._choice(text, 'length', whole=True),),
        )

    def _choice(
        self,
        text: str,
        finish_reason: str | None,
        *,
        whole: bool,
    ) -> Choice:
        if not self.chat:
            return Choice(text=text, finish_reason=finish_reason)
        message = Message(text)
        return Choice(
            message=message if whole else None,
            delta=None if whole else message,
            finish_reason=finish_reason,
        )


def verify_stream(body: bytes, prompt: str, count: int) -> str:
    """Check that a stream is the whole answer and return its version.

    :raises ValueError: the stream is another one's, mixed or not whole.
    """
    events = list(_events(body))
    if not events or events.pop() != DONE:
        raise ValueError('stream without its end mark')
    tokens = [
        msgspec.json.decode(event.removeprefix(DATA), type=TokenEvent)
        for event in events
    ]
    if [event.token for event in tokens] != list(range(count)):
        raise ValueError(f'not the tokens 0 to {count - 1}')
    versions = {event.version for event in tokens}
    if len(versions) != 1:
        raise ValueError(f'tokens of several versions: {versions}')
    text = ''.join(event.choices[0].content for event in tokens)
    return _verify_text(text, prompt, versions.pop(), count)


def verify_whole(body: bytes, prompt: str, count: int) -> str:
    """Check that a whole answer is the caller's and return its version.

    :raises ValueError: the answer is another one's or not whole.
    """
    answer = msgspec.json.decode(body, type=WholeAnswer)
    text = answer.choices[0].content
    return _verify_text(text, prompt, answer.version, count)


def _verify_text(text: str, prompt: str, version: str, count: int) -> str:
    if text != answer_text(prompt, version, count):
        raise ValueError(f'not the answer to {prompt!r} of {version!r}')
    return version


def _events(body: bytes) -> Iterator[bytes]:
    return (event for event in body.split(_EVENT_END) if event)
