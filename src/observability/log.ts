/** The log of a process: JSON lines on standard output. */

import bunyan from 'bunyan'
import type Logger from 'bunyan'
import { logOutput } from './logOutput.js'

/** The logger of a process. */
export type Log = Logger

/** Log levels, as the settings name them. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const
export type LogLevel = typeof logLevels[number]

/** Creates the logger of a process on the given host. */
export const createLog = (host: string, level: LogLevel): Log =>
  bunyan.createLogger({ name: 'rhubarbseam', host, streams: [{ level, stream: logOutput }], serializers: { err: bunyan.stdSerializers.err } })
