/** Returns a copy of the first `maxLength` characters. A plain slice would keep the whole text in memory. */
export const boundedText = (text: string, maxLength: number): string => Buffer.from(text.slice(0, maxLength)).toString()
