"""Steps on the decisions of the guard of prompts."""

from __future__ import annotations

import itertools
from typing import Any, Final

from behave import given, then, when

from damaskpoint import defaults
from damaskpoint.forwarding.metadata import PromptPart, RequestMetadata
from damaskpoint.membership.facts import Mark, MarkKind
from damaskpoint.quarantine.guard import PromptGuard
from features.support.crashing_fleet import CrashingFleet, create_options

_SERVICE: Final = 'model'
_STEP_S: Final = 0.1
_MOST_LATE: Final = 3


class _Instances:
    """Guards whose marks reach each other at once."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.marks: list[Mark] = []
        self.guards = [
            PromptGuard(self._create_publisher(number))
            for number in range(count)
        ]

    def send(self, parts: str, earlier_failures: int = 0) -> Any:
        """Begin a run at the first instance."""
        return self.guards[0].begin_run(
            _SERVICE, _create_metadata(parts), earlier_failures, self.now
        )

    def break_off(self, parts: str, earlier_failures: int = 0) -> None:
        """Send a run and let it break."""
        run = self.send(parts, earlier_failures)
        self.now += _STEP_S
        self.guards[0].record_broken(run, self.now)

    def succeed(self, parts: str) -> None:
        """Send a run and let it begin its answer."""
        self.guards[0].record_begun(self.send(parts), self.now)

    def _create_publisher(self, sender: int) -> Any:
        def publish(
            kind: MarkKind, subject: str, incarnation: int, sequence: int
        ) -> None:
            mark = Mark(kind, subject, incarnation, self.now, sequence=sequence)
            self.marks.append(mark)
            for number, guard in enumerate(self.guards):
                if number != sender:
                    guard.apply_mark(mark, self.now)

        return publish


def _create_metadata(parts: str) -> RequestMetadata:
    part_ids = [*parts.split(','), 'own']
    prompt = tuple(PromptPart(part_id, 10) for part_id in part_ids)
    return RequestMetadata('id-1', None, None, prompt)


def _is_refused(context: Any, part: str, number: int = 0) -> bool:
    instances = context.instances
    guard = instances.guards[number]
    return guard.check(_create_metadata(part), instances.now) is not None


@given(
    'a drawn fleet whose runners crash on {what} part, with the seed {seed:d}'
)
def draw_fleet(context: Any, what: str, seed: int) -> None:
    """Draw the size and the load of a fleet."""
    options = create_options(seed, has_cause=what == 'one')
    context.fleet = CrashingFleet(options, seed)


@given(
    'a drawn fleet with the seed {seed:d}, where all crashing requests and'
    ' {share:g} of the sound ones have one document'
)
def draw_fleet_with_document(context: Any, seed: int, share: float) -> None:
    """Draw a fleet whose crashing requests have two parts in common."""
    options = create_options(seed, has_cause=True, companion_share=share)
    context.fleet = CrashingFleet(options, seed)


@when('it is played for {seconds:g} s')
def play(context: Any, seconds: float) -> None:
    """Play the fleet."""
    context.result = context.fleet.run(seconds)


@then(
    'at most {most:d} sends with the part are later than 3 s after the fifth'
    ' crash'
)
def check_late(context: Any, most: int) -> None:
    """Count the sends."""
    late = context.result.count_late()
    assert late <= most, late


@then('no sound request is refused')
def check_sound(context: Any) -> None:
    """Show when sound requests were refused."""
    assert context.result.sound
    assert not context.result.refused_at, context.result.refused_at[:5]


@then('no part is in quarantine')
def check_none(context: Any) -> None:
    """Look at all instances."""
    for guard in context.fleet.guards:
        assert not guard.quarantines_by_key, guard.quarantines_by_key


@given('the guard of one instance')
def create_one(context: Any) -> None:
    """Create a guard without peers."""
    context.instances = _Instances(1)


@given('the guards of {count:d} instances')
def create_guards(context: Any, count: int) -> None:
    """Create guards that hear each other."""
    context.instances = _Instances(count)


@given('{count:d} runs without the part "{part}" begin their answers')
@when('{count:d} runs without the part "{part}" begin their answers')
def begin_others(context: Any, count: int, part: str) -> None:
    """Let other runs succeed."""
    for _ in range(count):
        context.instances.succeed('other')


@when('{count:d} runs with the parts "{parts}" are sent and then all break')
def break_at_once(context: Any, count: int, parts: str) -> None:
    """Let runs break that were in progress at the same time."""
    instances = context.instances
    runs = [instances.send(parts) for _ in range(count)]
    instances.now += _STEP_S
    for run in runs:
        instances.guards[0].record_broken(run, instances.now)


@when('one request with the parts "{parts}" breaks {count:d} times')
def break_one(context: Any, parts: str, count: int) -> None:
    """Send a request again and again."""
    for earlier in range(count):
        context.instances.break_off(parts, earlier)


@when('runs with the parts "{parts}" break {count:d} times one after another')
@when('runs with the parts "{parts}" break {count:d} time one after another')
def break_many(context: Any, parts: str, count: int) -> None:
    """Send different requests, each after the one before has broken."""
    for _ in range(count):
        context.instances.break_off(parts)


@when(
    'runs with the parts "{parts}" break {count:d} times, each after a run with'
    ' "{others}" has'
)
def break_both(context: Any, parts: str, count: int, others: str) -> None:
    """Let runs of both kinds break, and few begin."""
    context.instances.succeed('c')
    for number in range(count):
        context.instances.break_off(f'{others}{number}')
        context.instances.break_off(parts)


@given('a run with the parts "{parts}" begins its answer')
@when('a run with the parts "{parts}" begins its answer')
def begin_answer(context: Any, parts: str) -> None:
    """Let a run succeed."""
    context.instances.succeed(parts)


@when(
    'a run with "{first}" and then one with "{second}" breaks, {count:d} times,'
    ' each after {sound:d} sound ones'
)
def break_in_turn(
    context: Any, first: str, second: str, count: int, sound: int
) -> None:
    """Let runs with both sets of parts break in turn."""
    for _ in range(count):
        for parts in (first, second):
            for _ in range(sound):
                context.instances.succeed('other')
            context.instances.break_off(parts)


@given('the part "{part}" is in quarantine')
def begin_quarantine(context: Any, part: str) -> None:
    """Let enough runs with a part break, and others succeed."""
    for number in range(4):
        for _ in range(8):
            context.instances.succeed('other')
        context.instances.break_off(f'{part},b{number}')
    assert _is_refused(context, part)


@given('the parts "{parts}" are in quarantine together')
def begin_joint_quarantine(context: Any, parts: str) -> None:
    """Let enough runs with all parts break, and others succeed."""
    for _ in range(4):
        for _ in range(8):
            context.instances.succeed('other')
        context.instances.break_off(parts)
    assert _is_refused(context, parts)


@given(
    '{count:d} parts with names of {length:d} characters are in quarantine'
    ' together'
)
def begin_long_quarantine(context: Any, count: int, length: int) -> None:
    """Keep the parts, whose names differ at their beginning."""
    context.parts = ','.join(
        f'{number:02}'.ljust(length, 'x') for number in range(count)
    )
    begin_joint_quarantine(context, context.parts)


@then('a request with these parts is refused')
def check_these_refused(context: Any) -> None:
    """Check the parts that were kept, and that the key is short enough."""
    assert _is_refused(context, context.parts)
    for key in context.instances.guards[0].quarantines_by_key:
        assert len(key) <= defaults.MAX_NAME_CHARACTERS, key


@when(
    'a peer tells that "{part}" has succeeded {seconds:g} s before the'
    ' quarantine began'
)
def deliver_success(context: Any, part: str, seconds: float) -> None:
    """Deliver a mark of a newer epoch without failures to all instances."""
    instances = context.instances
    happened_at = instances.now - seconds
    mark = Mark(MarkKind.SUSPECTED_PART, part, 1, happened_at, sequence=0)
    for guard in instances.guards:
        guard.apply_mark(mark, instances.now)


@then('the refused ones of "{requests}" are "{refused}" at both')
@then('the refused ones of "{requests}" are "" at both')
def check_refused_ones(context: Any, requests: str, refused: str = '') -> None:
    """Check requests, each given by its parts, at two instances."""
    expected = [parts for parts in refused.split('; ') if parts]
    for number in range(2):
        found = [
            parts
            for parts in requests.split('; ')
            if _is_refused(context, parts, number)
        ]
        assert found == expected, found


@then('a request with the parts "{parts}" is refused')
def check_together(context: Any, parts: str) -> None:
    """Check a request with all of the parts."""
    assert _is_refused(context, parts)


@given('a run with the parts "{parts}" is sent')
def send_run(context: Any, parts: str) -> None:
    """Keep a run that is in progress."""
    context.run = context.instances.send(parts)


@when('that run begins its answer')
def begin_kept(context: Any) -> None:
    """Let the run that was kept succeed."""
    instances = context.instances
    instances.guards[0].record_begun(context.run, instances.now)


@when('{seconds:g} s pass')
def wait(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.instances.now += seconds


@when('all messages of a quarantine that was lifted reach a third in any order')
def reorder(context: Any) -> None:
    """Deliver the marks that count for a part in each order."""
    begin_quarantine(context, 'x')
    instances = context.instances
    instances.succeed('x')
    marks = [mark for mark in instances.marks if mark.subject == 'x']
    context.thirds = []
    for ordered in itertools.permutations(marks):
        third = PromptGuard(lambda *_: None)
        for mark in ordered:
            third.apply_mark(mark, instances.now)
        context.thirds.append(third)


@then('the part "{part}" has {count:d} failures')
@then('the part "{part}" has {count:d} failure')
def check_failures(context: Any, part: str, count: int) -> None:
    """Look into the state dump."""
    instances = context.instances
    dump = instances.guards[0].dump_state(instances.now)
    assert dump['failures_by_part'].get(part) == count, dump


@then('the part "{part}" is accepted')
def check_accepted(context: Any, part: str) -> None:
    """Check a request with the part."""
    assert not _is_refused(context, part)


@then('the part "{part}" is accepted by both')
def check_both(context: Any, part: str) -> None:
    """Check a request with the part at two instances."""
    assert not _is_refused(context, part)
    assert not _is_refused(context, part, 1)


@then('the part "{part}" is accepted by the third')
def check_third(context: Any, part: str) -> None:
    """Check a request with the part after each order of messages."""
    assert context.thirds
    for third in context.thirds:
        failure = third.check(_create_metadata(part), context.instances.now)
        assert failure is None, failure


@then('the part "{part}" is refused')
def check_refused(context: Any, part: str) -> None:
    """Check a request with the part."""
    assert _is_refused(context, part)


@then('the part "{part}" is refused for {seconds:d} s')
def check_refused_for(context: Any, part: str, seconds: int) -> None:
    """Check what a caller is told."""
    instances = context.instances
    failure = instances.guards[0].check(_create_metadata(part), instances.now)
    assert failure is not None
    assert part in failure.detail, failure
    assert f' {seconds} s' in failure.detail, failure
    assert failure.retry_after_s is None
