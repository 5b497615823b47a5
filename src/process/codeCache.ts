/** What the launcher tells the program about its compiled code. */

/** Argument that the launcher adds. */
export const CODE_CACHE_ARGUMENT = '--code-cache='

/** What came of the code cache. */
export type CodeCacheState = 'used' | 'rejected' | 'absent'

/** Whether this process runs from a code cache. */
export const codeCacheState = (argv: readonly string[] = process.argv): CodeCacheState => {
  const argument = argv.find(value => value.startsWith(CODE_CACHE_ARGUMENT))
  return argument === undefined ? 'absent' : argument.slice(CODE_CACHE_ARGUMENT.length) as CodeCacheState
}
