/** Applies committed changes in order; the same log gives the same configuration on every host. */

import { invariant, ok, fail } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import type { Id } from '../core/id.js'
import { commandRegistry } from './commandRegistry.js'
import type { CommandDefinition } from './commandRegistry.js'
import type { Configuration } from './configurationTables.js'
import type { Change, Command, CommandEnvelope, CommandError, CommandReceipt, CommandRecord } from './types.js'

/** Requests whose first outcome is kept for resends. */
export const MAX_REMEMBERED_REQUESTS = 4096

const recordKey = (envelope: CommandEnvelope): Id<'CommandRecord'> => toId(`${envelope.operator}/${envelope.requestId}`)

const toOutcome = (record: CommandRecord): Outcome<CommandReceipt, CommandError> =>
  record.receipt !== null ? ok(record.receipt) : fail(record.error ?? { kind: 'request-id-reused' })

const runCommand = (configuration: Configuration, envelope: CommandEnvelope): Outcome<number, CommandError> => {
  // The registry's key and the command's kind are the same literal, which the compiler cannot see through the union.
  const definition = commandRegistry[envelope.command.kind] as CommandDefinition<Command['kind']>
  if (!envelope.roles.includes(definition.role)) return fail({ kind: 'role-missing', role: definition.role })
  return definition.apply(configuration, envelope.command as never, envelope)
}

const storeRecord = (configuration: Configuration, record: CommandRecord): void => {
  configuration.records.put(record)
  if (configuration.records.size <= MAX_REMEMBERED_REQUESTS) return
  const oldest = configuration.records.first()
  if (oldest !== undefined) configuration.records.remove(oldest.key)
}

/** Applies the next change and returns its outcome; a resent request gets the outcome of its first run. */
export const applyChange = (configuration: Configuration, change: Change): Outcome<CommandReceipt, CommandError> | null => {
  invariant(change.index === configuration.index + 1, `change ${change.index} does not follow ${configuration.index}`)
  configuration.index = change.index
  const envelope = change.envelope
  if (envelope === null) return null
  if (commandRegistry[envelope.command.kind].isIdempotent === true) {
    const result = runCommand(configuration, envelope)
    return result.tag === 'ok' ? ok({ index: change.index, version: result.value }) : result
  }
  const key = recordKey(envelope)
  const fingerprint = JSON.stringify(envelope.command)
  const earlier = configuration.records.get(key)
  if (earlier !== undefined) {
    return earlier.fingerprint === fingerprint ? toOutcome(earlier) : fail({ kind: 'request-id-reused' })
  }
  const result = runCommand(configuration, envelope)
  const record: CommandRecord = result.tag === 'ok'
    ? { key, fingerprint, receipt: { index: change.index, version: result.value }, error: null }
    : { key, fingerprint, receipt: null, error: result.error }
  storeRecord(configuration, record)
  return toOutcome(record)
}
