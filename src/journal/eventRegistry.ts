/** The registry of journal events: subject, meaning and facts of each. The log uses these names, and docs/EVENTS.md is generated from them. */

interface EventDefinition {
  /** `request`: a decision about a request. `belief`: a change in the state that the process has observed. */
  readonly scope: 'request' | 'belief'
  readonly meaning: string
  readonly subject: string
  /** Meaning of each fact that the event may have. */
  readonly facts: Readonly<Record<string, string>>
  /** False for frequent events: metrics count them, and a log line for each would cost more than the decision itself. */
  readonly isLogged: boolean
}

const BELIEF_FACTS = {
  from: 'previous state; null if there was none',
  to: 'new state'
} as const

/** Event definitions by name. */
export const eventRegistry = {
  refused: {
    scope: 'request',
    meaning: 'a request was refused',
    subject: 'the request',
    facts: {
      reason: 'reason of the refusal, as listed on the operators\' page',
      service: 'requested service',
      configurationIndex: 'log index of the configuration in force on this host',
      configurationAgeMs: 'time since a leader last confirmed that index, in milliseconds',
      waitedMs: 'time since the request was received, in milliseconds',
      queued: 'requests in the queue of the service',
      workspace: 'workspace of the request',
      ownRate: 'this host\'s share of the workspace\'s rate, in requests per second',
      ownBurst: 'this host\'s share of the workspace\'s burst, in requests',
      tokens: 'tokens left in the token bucket of this host',
      demand: 'demand for the workspace on this host, in requests per second',
      credits: 'number of unexpired loans of tokens from other hosts',
      heldMs: 'time that the request waited for a token, in milliseconds',
      policy: 'allowance policy',
      attempts: 'number of attempts',
      result: 'result of the last attempt',
      cause: 'error of the last attempt',
      isCondemned: 'whether the request is blocked because it crashes backend servers'
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
      inFlight: 'attempts of this host in flight at the server, including this one',
      slots: 'concurrency slots of the server',
      admissionMs: 'time until the request was admitted, in milliseconds',
      queueMs: 'time that the request waited for a server, in milliseconds',
      isAway: 'whether the server is in another region',
      choice: 'policy that chose the server',
      isSuspect: 'whether the request runs isolated because it may crash backend servers'
    },
    isLogged: false
  },
  retry: {
    scope: 'request',
    meaning: 'a request was retried at a backend server',
    subject: 'the request',
    facts: {
      backend: 'server, as SERVICE/NAME',
      zone: 'availability zone of the server',
      inFlight: 'attempts of this host in flight at the server, including this one',
      slots: 'concurrency slots of the server',
      admissionMs: 'time until the request was admitted, in milliseconds',
      queueMs: 'time since the request was admitted, in milliseconds',
      isAway: 'whether the server is in another region',
      choice: 'policy that chose the server',
      isSuspect: 'whether the request runs isolated because it may crash backend servers'
    },
    isLogged: true
  },
  shift: {
    scope: 'request',
    meaning: 'a request was sent to another region',
    subject: 'the request',
    facts: {
      service: 'requested service',
      to: 'region of the backend server',
      total: 'requests counted in the current window',
      away: 'requests of that window sent to other regions',
      baseline: 'fraction sent to other regions in the previous window, from 0 to 1'
    },
    isLogged: false
  },
  ejected: {
    scope: 'belief',
    meaning: 'this host ejected a backend server after consecutive failures: it gets no new requests for a time',
    subject: 'the server, as SERVICE/NAME',
    facts: {
      consecutiveFailures: 'failed attempts in a row',
      forMs: 'duration of the ejection, in milliseconds'
    },
    isLogged: true
  },
  'server-leaving': {
    scope: 'belief',
    meaning: 'a backend server said in an answer that it leaves: it gets no new requests from any host until it starts again',
    subject: 'the server, as SERVICE/NAME',
    facts: { epoch: 'start time of the server, in wall-clock milliseconds', source: '`answer`; hosts that hear of it from others log a change of the server\'s state' },
    isLogged: true
  },
  'server-paused': {
    scope: 'belief',
    meaning: 'a backend server asked this host for a pause: it gets no requests from this host until its end',
    subject: 'the server, as SERVICE/NAME',
    facts: { epoch: 'start time of the server, in wall-clock milliseconds', forMs: 'length of the pause, in milliseconds' },
    isLogged: true
  },
  peer: {
    scope: 'belief',
    meaning: 'the state of another process of the fleet changed',
    subject: 'its host',
    facts: { ...BELIEF_FACTS, role: 'its role, `entry` or `control`', zone: 'its availability zone', epoch: 'start time of that process, in wall-clock milliseconds' },
    isLogged: true
  },
  backend: {
    scope: 'belief',
    meaning: 'the state of a backend server changed',
    subject: 'the server, as SERVICE/NAME',
    facts: { ...BELIEF_FACTS, zone: 'its availability zone', epoch: 'start time of the server, in wall-clock milliseconds', sequence: 'sequence number of its latest announcement', silentMs: 'time since its last announcement to this host, in milliseconds; null if this host only has it from other hosts' },
    isLogged: true
  },
  configuration: {
    scope: 'belief',
    meaning: 'another configuration is in force on this host',
    subject: '"configuration"',
    facts: { ...BELIEF_FACTS, planVersion: 'version of the operators\' plan; null if there is none', evacuated: 'evacuated availability zones, separated by spaces', source: 'host that sent the newest change or snapshot; null on control hosts' },
    isLogged: true
  },
  quorum: {
    scope: 'belief',
    meaning: 'this host lost or regained contact with the quorum of control hosts',
    subject: '"quorum"',
    facts: { ...BELIEF_FACTS, ageMs: 'time since a leader last confirmed the configuration of this host, in milliseconds; null if none has since the start', source: 'host that sent the newest confirmation; null on the leader', vouchedIndex: 'index that the newest confirmation is about; null if there is none' },
    isLogged: true
  },
  'entry-hosts': {
    scope: 'belief',
    meaning: 'the number of entry hosts to which this control host can send changes is another one',
    subject: '"entry hosts"',
    facts: { ...BELIEF_FACTS, dead: 'known entry hosts that count as dead' },
    isLogged: true
  },
  group: {
    scope: 'belief',
    meaning: 'other replicas vote, learn or wait to be admitted, as this control host sees it',
    subject: '"group"',
    facts: {
      ...BELIEF_FACTS,
      voters: 'replicas that vote, separated by spaces',
      learners: 'replicas that receive entries and do not vote',
      waiting: 'replicas outside the group that have asked this host to admit them within the last seconds',
      admitting: 'learner that is about to become a voter; null if there is none, and on hosts that do not lead',
      replaced: 'voter whose place it takes; null if there is none'
    },
    isLogged: true
  },
  leader: {
    scope: 'belief',
    meaning: 'the leader of the control group changed',
    subject: '"leader"',
    facts: { ...BELIEF_FACTS, role: 'role of this replica', term: 'term of the replicated log', commit: 'index up to which the log is committed', voters: 'number of voters in the group' },
    isLogged: true
  }
} as const satisfies Record<string, EventDefinition>

type Events = typeof eventRegistry

export type EventKind = keyof Events

export type Fact = string | number | boolean | null

/** The facts of one kind of event. */
export type EventFacts<K extends EventKind> = { readonly [F in keyof Events[K]['facts']]?: Fact }

const renderSection = (scope: EventDefinition['scope']): string[] => {
  const rows: string[] = []
  for (const [name, definition] of Object.entries<EventDefinition>(eventRegistry)) {
    if (definition.scope !== scope) continue
    rows.push(`### ${name}`, '', `${definition.meaning}. Subject: ${definition.subject}.${definition.isLogged ? '' : ' Kept in the journal only.'}`, '', '| fact | meaning |', '|---|---|')
    for (const [fact, meaning] of Object.entries(definition.facts)) rows.push(`| \`${fact}\` | ${meaning} |`)
    rows.push('')
  }
  return rows
}

/** Returns the reference page of the events as Markdown. */
export const renderEventReference = (): string => [
  '# Events',
  '',
  'Generated from `src/journal/eventRegistry.ts` by `npm run docs`. To change this page, edit that file.',
  'Each line on standard output is JSON. The line of an event has `event`, `subject`, `at` (milliseconds of the monotonic clock of the process), `time` (wall clock), `host`, `profile` (the steering profile that applied, as NAME@VERSION) and the facts below.',
  '`rhubarbseam logs SUBJECT FILE...` joins the log lines of several processes.',
  '',
  '## What touches a request',
  '',
  ...renderSection('request'),
  '## What a process believes',
  '',
  ...renderSection('belief')
].join('\n').trimEnd()
