/** Joins the logs of several processes around one request, so that its way can be read from the first line to its cause. */

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

/** A line that tells an event. */
export type EventLine = z.infer<typeof lineSchema>

/** A line with the time at which it happened, by the clocks of all processes together. */
export interface JoinedLine {
  /** Wall-clock milliseconds, without the steps of the process's clock. */
  readonly atMs: number
  /** What ties the line to the request. */
  readonly relation: 'request' | 'server' | 'host'
  readonly line: EventLine
}

/** Lines of one log, in the order in which they were written. */
export type LogText = string

/** What happened to a server this long before a request's last line belongs to its story, in milliseconds. */
const STORY_MS = 10_000
/** Fields that every line has, which a person need not read again. */
const ORDINARY_FIELDS: ReadonlySet<string> = new Set(['v', 'level', 'name', 'hostname', 'pid', 'msg', 'time', 'host', 'event', 'subject', 'at'])
const SERVER_EVENTS: ReadonlySet<string> = new Set(['backend', 'ejected'])
const HOST_EVENTS: ReadonlySet<string> = new Set(['configuration', 'quorum'])

const parseLine = (text: string): EventLine | null => {
  // A platform may put its own words before a line.
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

// Wall clocks step; the steady clock of a process does not. The median of their distance leaves the steps out.
const findStarts = (lines: readonly EventLine[]): ReadonlyMap<string, number> => {
  const distances = new Map<string, number[]>()
  for (const line of lines) {
    const known = distances.get(processOf(line))
    const distance = Date.parse(line.time) - line.at
    if (known === undefined) distances.set(processOf(line), [distance])
    else known.push(distance)
  }
  return new Map([...distances].map(([process, values]) => [process, median(values)]))
}

/** Every line that belongs to the story of a request, the earliest first; empty when no line names it. */
export const joinLogs = (logs: readonly LogText[], subject: string): JoinedLine[] => {
  const lines = logs.flatMap(log => log.split('\n').map(parseLine)).filter(line => line !== null)
  const starts = findStarts(lines)
  const atOf = (line: EventLine): number => (starts.get(processOf(line)) ?? 0) + line.at
  const own = lines.filter(line => line.subject === subject)
  if (own.length === 0) return []
  const end = Math.max(...own.map(atOf))
  const servers = new Set(own.map(line => line.backend))
  const services = new Set(own.map(line => line.service))
  const processes = new Set(own.map(processOf))
  const relationOf = (line: EventLine): JoinedLine['relation'] | null => {
    if (line.subject === subject) return 'request'
    if (atOf(line) < end - STORY_MS || atOf(line) > end) return null
    if (SERVER_EVENTS.has(line.event) && (servers.has(line.subject) || services.has(serviceOf(line.subject)))) return 'server'
    return HOST_EVENTS.has(line.event) && processes.has(processOf(line)) ? 'host' : null
  }
  const joined: JoinedLine[] = []
  for (const line of lines) {
    const relation = relationOf(line)
    if (relation !== null) joined.push({ atMs: atOf(line), relation, line })
  }
  return joined.sort((a, b) => a.atMs - b.atMs)
}

const quoted = (value: string): string => value.includes(' ') ? JSON.stringify(value) : value

/** A line for a person. */
export const describeLine = ({ atMs, line }: JoinedLine): string => {
  const facts: string[] = []
  for (const [name, value] of Object.entries(line)) {
    if (!ORDINARY_FIELDS.has(name) && value !== null && value !== '') facts.push(`${name}=${quoted(String(value))}`)
  }
  return [new Date(atMs).toISOString(), line.host, line.event, line.subject, ...facts].join(' ')
}
