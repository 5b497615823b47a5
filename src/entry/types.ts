/** The inbox rows, outbox rows and tables of an entry host. */

import type { AdmissionTables, AllowanceMessage } from '../admission/types.js'
import type { AnnouncementReceived, AnnouncementTables } from '../announcement/types.js'
import type { AttemptReported, AnswerCut, AnswerRelayed, AttemptAbandoned, AttemptStarted, CallerLeft, ExchangeTables, RequestDeferred, RequestRefused, RequestReceived, ShutdownCompleted, StopRequested } from '../exchange/types.js'
import type { AnswerReplayed, RecordMessage, RecordTables } from '../idempotency/types.js'
import type { BeliefTables } from '../beliefs/types.js'
import type { JournalTables } from '../journal/journal.js'
import type { ShiftTables } from '../shift/types.js'
import type { SuspicionTables } from '../suspicion/types.js'
import type { LookupTables } from '../lookup/lookupSystem.js'
import type { LookupAnswered, LookupReceived } from '../lookup/types.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { GossipMessage, LinkDropped, MessageReceived, MessageSent } from '../membership/types.js'

/** Messages that an entry host accepts from other processes of the fleet. */
export type EntryMessage = GossipMessage | AllowanceMessage | RecordMessage

/** Rows of the inbox. */
export type EntryInput =
  | LookupReceived
  | RequestReceived
  | AttemptReported
  | CallerLeft
  | AnnouncementReceived
  | MessageReceived<EntryMessage>
  | StopRequested

/** Rows of the outbox. */
export type EntryOutput =
  | LookupAnswered
  | RequestRefused
  | RequestDeferred
  | AttemptStarted
  | AnswerRelayed
  | AttemptAbandoned
  | AnswerCut
  | AnswerReplayed
  | MessageSent<EntryMessage>
  | LinkDropped
  | ShutdownCompleted

/** The tables of an entry host. */
export type EntryTables = RumorTables & LookupTables & AdmissionTables & AnnouncementTables & ExchangeTables & RecordTables & SuspicionTables & JournalTables & BeliefTables & ShiftTables
