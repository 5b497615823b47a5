/** Joins the logs of several processes into the sequence of events that concern one request. */

import { z } from 'zod'

const lineSchema = z.looseObject({
  host: z.string(),
  pid: z.number(),
  time: z.iso.datetime(),
  event: z.string(),
  subject: z.string(),
  at: z.number(),
  backend: z.string().optional(),
  service: z.string().optional()
})

/** A log line of an event. */
export type EventLine = z.infer<typeof lineSchema>

/** A log line with a time that is comparable between processes. */
export interface JoinedLine {
  /** Wall-clock time in milliseconds, corrected for steps of the wall clock. */
  readonly atMs: number
  /** Whether the line is about the request itself, a backend server of it, or a host that handled it. */
  readonly relation: 'request' | 'server' | 'host'
  readonly line: EventLine
}

/** The text of one log, one JSON object per line. */
export type LogText = string

/** Events of servers and hosts are included if they happened within this time before the last line of the request. */
const RELATED_EVENTS_WINDOW_MS = 10_000
/** Fields of every line. Not printed as facts. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['v', 'level', 'name', 'hostname', 'pid', 'msg', 'time', 'host', 'event', 'subject', 'at'])
const SERVER_EVENTS: ReadonlySet<string> = new Set(['backend', 'ejected'])
const HOST_EVENTS: ReadonlySet<string> = new Set(['configuration', 'quorum'])

const parseLine = (text: string): EventLine | null => {
  // A log collector may add a prefix to each line.
  const start = text.indexOf('{')
  if (start < 0) return null
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)))
    return parsed.success ? parsed.data : null
  } catch {
    return null
  }
}

const median = (values: readonly number[]): number => [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0

const serviceOf = (server: string): string => server.slice(0, server.indexOf('/'))

const processOf = (line: EventLine): string => `${line.host}/${line.pid}`

// Returns the wall-clock time of the origin of each process's monotonic clock. A wall clock may step, a monotonic clock does not: the
// median of their differences ignores the steps.
const estimateClockOrigins = (lines: readonly EventLine[]): ReadonlyMap<string, number> => {
  const offsets = new Map<string, number[]>()
  for (const line of lines) {
    const known = offsets.get(processOf(line))
    const offset = Date.parse(line.time) - line.at
    if (known === undefined) offsets.set(processOf(line), [offset])
    else known.push(offset)
  }
  return new Map([...offsets].map(([process, values]) => [process, median(values)]))
}

/** Returns the lines that concern a request, earliest first; empty if no line has the request as its subject. */
export const joinLogs = (logs: readonly LogText[], subject: string): JoinedLine[] => {
  const lines = logs.flatMap(log => log.split('\n').map(parseLine)).filter(line => line !== null)
  const origins = estimateClockOrigins(lines)
  const timeOf = (line: EventLine): number => (origins.get(processOf(line)) ?? 0) + line.at
  const requestLines = lines.filter(line => line.subject === subject)
  if (requestLines.length === 0) return []
  const end = Math.max(...requestLines.map(timeOf))
  const servers = new Set(requestLines.map(line => line.backend))
  const services = new Set(requestLines.map(line => line.service))
  const processes = new Set(requestLines.map(processOf))
  const relationOf = (line: EventLine): JoinedLine['relation'] | null => {
    if (line.subject === subject) return 'request'
    if (timeOf(line) < end - RELATED_EVENTS_WINDOW_MS || timeOf(line) > end) return null
    if (SERVER_EVENTS.has(line.event) && (servers.has(line.subject) || services.has(serviceOf(line.subject)))) return 'server'
    return HOST_EVENTS.has(line.event) && processes.has(processOf(line)) ? 'host' : null
  }
  const joined: JoinedLine[] = []
  for (const line of lines) {
    const relation = relationOf(line)
    if (relation !== null) joined.push({ atMs: timeOf(line), relation, line })
  }
  return joined.sort((a, b) => a.atMs - b.atMs)
}

const quoteIfNeeded = (value: string): string => value.includes(' ') ? JSON.stringify(value) : value

/** Formats a line as text: time, host, event, subject and facts. */
export const describeLine = ({ atMs, line }: JoinedLine): string => {
  const facts: string[] = []
  for (const [name, value] of Object.entries(line)) {
    if (!COMMON_FIELDS.has(name) && value !== null && value !== '') facts.push(`${name}=${quoteIfNeeded(String(value))}`)
  }
  return [new Date(atMs).toISOString(), line.host, line.event, line.subject, ...facts].join(' ')
}
