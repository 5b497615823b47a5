import t from 'tap'
import { Linter } from 'eslint'
import { listenerImports, listenerSyntax } from './listenerRules.mjs'

const countErrors = code => new Linter().verify(code, { rules: { 'no-restricted-imports': ['error', listenerImports], 'no-restricted-syntax': ['error', ...listenerSyntax] } }).length

t.test('a second way to open a listener is an error', async t => {
  const codes = [
    "import { createServer } from 'node:http'",
    "import { Server } from 'net'",
    "import http from 'node:http'",
    "import * as net from 'node:net'",
    "import { createSocket } from 'node:dgram'",
    "import { listenOn } from '../process/listen.js'",
    "export const http = await import('node:http')",
    "export const http = require('node:http')",
    'export const sockets = new WebSocketServer({ port: 1 })'
  ]
  for (const code of codes) t.equal(countErrors(code), 1, code)
})

t.test('what opens no listener is allowed', async t => {
  const codes = [
    "import { STATUS_CODES } from 'node:http'",
    "import { connect } from 'node:net'",
    "import { HttpListener } from '../process/httpListener.js'",
    'export const sockets = new WebSocketServer({ noServer: true })'
  ]
  for (const code of codes) t.equal(countErrors(code), 0, code)
})
