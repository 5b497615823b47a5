/** The entry host's world: the rows that come in and go out, and all its tables. */

import type { AdmissionTables, AllowanceMessage } from '../admission/types.js'
import type { AnnouncementReceived, AnnouncementTables } from '../announcement/types.js'
import type { AttemptReported, AnswerCut, AnswerRelayed, AttemptAbandoned, AttemptStarted, CallerLeft, ExchangeTables, RequestRefused, RequestReceived, ShutdownCompleted, StopRequested } from '../exchange/types.js'
import type { AnswerReplayed, RecordMessage, RecordTables } from '../idempotency/types.js'
import type { BeliefTables } from '../beliefs/types.js'
import type { JournalTables } from '../journal/journal.js'
import type { ShiftTables } from '../shift/types.js'
import type { SuspicionTables } from '../suspicion/types.js'
import type { LookupTables } from '../lookup/lookupSystem.js'
import type { LookupAnswered, LookupReceived } from '../lookup/types.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { GossipMessage, LinkDropped, MessageReceived, MessageSent } from '../membership/types.js'

/** Every message between the system's processes that an entry host takes. */
export type EntryMessage = GossipMessage | AllowanceMessage | RecordMessage

/** Rows that the edge puts into the inbox. */
export type EntryInput =
  | LookupReceived
  | RequestReceived
  | AttemptReported
  | CallerLeft
  | AnnouncementReceived
  | MessageReceived<EntryMessage>
  | StopRequested

/** Rows that the edge takes from the outbox. */
export type EntryOutput =
  | LookupAnswered
  | RequestRefused
  | AttemptStarted
  | AnswerRelayed
  | AttemptAbandoned
  | AnswerCut
  | AnswerReplayed
  | MessageSent<EntryMessage>
  | LinkDropped
  | ShutdownCompleted

/** All tables of an entry host. */
export type EntryTables = RumorTables & LookupTables & AdmissionTables & AnnouncementTables & ExchangeTables & RecordTables & SuspicionTables & JournalTables & BeliefTables & ShiftTables
