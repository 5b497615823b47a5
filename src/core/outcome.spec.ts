import t from 'tap'
import { InvariantViolation, fail, invariant, ok } from './outcome.js'

t.matchSnapshot({ ok: ok(1), fail: fail({ kind: 'x' }) }, 'successes and failures are tagged values')
t.throws(() => { invariant(false, 'broken') }, InvariantViolation)
t.doesNotThrow(() => { invariant(true, 'holds') })
