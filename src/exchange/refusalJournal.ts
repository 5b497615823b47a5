/** Writes refusals to the journal, with the profile that was in force. */

import type { ExchangeId, ServiceId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { EventFacts } from '../journal/eventRegistry.js'
import type { JournalTables } from '../journal/journal.js'
import type { MembershipTables } from '../membership/types.js'
import type { RefusalReason } from './types.js'

/** The parts of a tick that are needed to write a journal entry. */
export interface JournalTick {
  readonly now: Millis
  readonly tables: JournalTables & Pick<MembershipTables, 'gossip'> & { readonly configuration: Configuration }
}

/** Returns the profile that a service runs under as NAME@VERSION, or null for an unknown service. */
export const profileLabel = (tables: JournalTick['tables'], service: ServiceId): string | null => {
  const row = tables.configuration.services.get(service)
  return row === undefined ? null : `${row.profile}@${row.profileVersion}`
}

/** Writes a refusal and the figures behind it to the journal. */
export const journalRefusal = (tick: JournalTick, request: { exchange: ExchangeId, service: ServiceId }, reason: RefusalReason, facts: EventFacts<'refused'> = {}): void => {
  const { configuration, gossip, journal } = tick.tables
  const configurationAgeMs = gossip.confirmedAt === null ? null : Math.round(tick.now - gossip.confirmedAt)
  journal.append({
    at: tick.now,
    event: 'refused',
    subject: request.exchange,
    facts: { reason, service: request.service, configurationIndex: configuration.index, configurationAgeMs, ...facts },
    profile: profileLabel(tick.tables, request.service)
  })
}
