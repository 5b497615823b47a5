/** Every event that a process notes: what it is about and what its facts say. The log and docs/EVENTS.md speak these words. */

interface EventDefinition {
  /** Whether it touches a request or changes what the process believes. */
  readonly scope: 'request' | 'belief'
  readonly meaning: string
  readonly subject: string
  /** Every fact that it may carry. */
  readonly facts: Readonly<Record<string, string>>
  /** Ordinary events are told by metrics; a line for each would cost more than the decision itself. */
  readonly isLogged: boolean
}

const BELIEF_FACTS = {
  from: 'what was believed before; null when nothing was',
  to: 'what is believed now'
} as const

/** Definitions by name. */
export const eventRegistry = {
  refused: {
    scope: 'request',
    meaning: 'a request was turned away',
    subject: 'the request',
    facts: {
      reason: 'why, by the list of reasons on the operators\' page',
      service: 'service that it asked for',
      configurationIndex: 'index of the configuration in force here',
      configurationAgeMs: 'time since a leader vouched for that index, in milliseconds',
      waitedMs: 'time since it came in, in milliseconds',
      queued: 'requests that waited for the same service',
      workspace: 'workspace that it belongs to',
      ownRate: 'this host\'s part of the workspace\'s rate, in requests a second',
      ownBurst: 'this host\'s part of the workspace\'s burst, in requests',
      tokens: 'tokens left in that part',
      demand: 'requests a second that callers asked of this host for the workspace',
      credits: 'loans of tokens from other hosts that were still good',
      heldMs: 'time that it waited for a token, in milliseconds',
      policy: 'way in which allowances are held',
      attempts: 'backend servers that it was sent to',
      result: 'how the last attempt ended',
      cause: 'error of the last attempt',
      isCondemned: 'whether it is kept from servers because it crashes them'
    },
    isLogged: true
  },
  attempt: {
    scope: 'request',
    meaning: 'a request was sent to a backend server for the first time',
    subject: 'the request',
    facts: {
      backend: 'server, as SERVICE/NAME',
      zone: 'availability zone of the server',
      inFlight: 'attempts of this host that run there, this one included',
      slots: 'slots of the server',
      admissionMs: 'time until it was admitted, in milliseconds',
      queueMs: 'time that it waited for a server, in milliseconds',
      isAway: 'whether the server is in another region',
      choice: 'way in which the server was chosen',
      isSuspect: 'whether it runs apart because it may crash servers'
    },
    isLogged: false
  },
  retry: {
    scope: 'request',
    meaning: 'a request was sent to a backend server once more',
    subject: 'the request',
    facts: {
      backend: 'server, as SERVICE/NAME',
      zone: 'availability zone of the server',
      inFlight: 'attempts of this host that run there, this one included',
      slots: 'slots of the server',
      admissionMs: 'time until it was admitted, in milliseconds',
      queueMs: 'time since it was admitted, in milliseconds',
      isAway: 'whether the server is in another region',
      choice: 'way in which the server was chosen',
      isSuspect: 'whether it runs apart because it may crash servers'
    },
    isLogged: true
  },
  shift: {
    scope: 'request',
    meaning: 'a request was sent to another region',
    subject: 'the request',
    facts: {
      service: 'service that it asked for',
      to: 'region that it went to',
      total: 'requests of the account in this window',
      away: 'those of them that left the region',
      baseline: 'part that left in the window before, 0 to 1'
    },
    isLogged: false
  },
  ejected: {
    scope: 'belief',
    meaning: 'a backend server gets no new work for a while, after failures seen here',
    subject: 'the server, as SERVICE/NAME',
    facts: {
      consecutiveFailures: 'failed attempts in a row',
      forMs: 'length of the pause, in milliseconds'
    },
    isLogged: true
  },
  peer: {
    scope: 'belief',
    meaning: 'a process of the fleet was lost or is back',
    subject: 'its host',
    facts: { ...BELIEF_FACTS, role: 'what it does in the fleet', zone: 'its availability zone', epoch: 'start of that process, in wall-clock milliseconds' },
    isLogged: true
  },
  backend: {
    scope: 'belief',
    meaning: 'a backend server was lost, leaves, or is back',
    subject: 'the server, as SERVICE/NAME',
    facts: { ...BELIEF_FACTS, zone: 'its availability zone', epoch: 'start of the server, in wall-clock milliseconds', sequence: 'its newest report', silentMs: 'time since it spoke to this host, in milliseconds; null when only others told of it' },
    isLogged: true
  },
  configuration: {
    scope: 'belief',
    meaning: 'another configuration is in force here',
    subject: '"configuration"',
    facts: { ...BELIEF_FACTS, planVersion: 'version of the operators\' plan; null without one', evacuated: 'availability zones that are evacuated, with spaces between' },
    isLogged: true
  },
  quorum: {
    scope: 'belief',
    meaning: 'this host heard from the quorum of control hosts again, or no longer does',
    subject: '"quorum"',
    facts: { ...BELIEF_FACTS, ageMs: 'time since a leader vouched for this host\'s configuration, in milliseconds; null when none has since the start' },
    isLogged: true
  },
  leader: {
    scope: 'belief',
    meaning: 'the control group has another leader, or none',
    subject: '"leader"',
    facts: { ...BELIEF_FACTS, role: 'what this replica is', term: 'term of the log', commit: 'index up to which the log is committed', voters: 'voters of the group' },
    isLogged: true
  }
} as const satisfies Record<string, EventDefinition>

type Events = typeof eventRegistry

/** Name of an event. */
export type EventKind = keyof Events

/** What a fact may say. */
export type Fact = string | number | boolean | null

/** The facts of one kind of event. */
export type EventFacts<K extends EventKind> = { readonly [F in keyof Events[K]['facts']]?: Fact }

const section = (scope: EventDefinition['scope']): string[] => {
  const rows: string[] = []
  for (const [name, definition] of Object.entries<EventDefinition>(eventRegistry)) {
    if (definition.scope !== scope) continue
    rows.push(`### ${name}`, '', `${definition.meaning}. Subject: ${definition.subject}.${definition.isLogged ? '' : ' Kept in the journal only.'}`, '', '| fact | meaning |', '|---|---|')
    for (const [fact, meaning] of Object.entries(definition.facts)) rows.push(`| \`${fact}\` | ${meaning} |`)
    rows.push('')
  }
  return rows
}

/** The page of all events, in Markdown. */
export const renderEventReference = (): string => [
  '# Events',
  '',
  'Made by `npm run docs` from `src/journal/eventRegistry.ts`; change that file, not this page.',
  'Each line on standard output is JSON. One that tells an event has `event`, `subject`, `at` (milliseconds of the process\'s steady clock), `time` (wall clock), `host`, `profile` (the profile that decided, NAME@VERSION) and the facts below.',
  '`rhubarbseam logs SUBJECT FILE...` joins the lines of several processes.',
  '',
  '## What touches a request',
  '',
  ...section('request'),
  '## What a process believes',
  '',
  ...section('belief')
].join('\n').trimEnd()
