/** Runs a fake backend server as a separate process: `backendServer.cjs OPTIONS.json`. */

import { readFileSync } from 'node:fs'
import { BackendServer } from './backendServer.js'
import type { BackendServerOptions } from './backendServer.js'

const options = JSON.parse(readFileSync(process.argv[2] ?? '', 'utf8')) as BackendServerOptions
const server = new BackendServer(options)
process.on('SIGTERM', () => { void server.drain().then(() => process.exit(0)) })
void server.start()
