/** Reads a whole body that arrives as a stream of chunks. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {BufferFault, ByteAccumulator} from './byte-accumulator';

/**
 * Collects all chunks of `body`. After a fault nothing more is read and the
 * stream is destroyed. Rejects if the stream fails.
 *
 * @param onProgress called for each chunk.
 */
export async function readStream(
  body: AsyncIterable<Uint8Array>,
  accumulator: ByteAccumulator,
  onProgress: () => void = () => undefined,
): Promise<Either<BufferFault, Buffer>> {
  try {
    for await (const chunk of body) {
      onProgress();
      const appended = accumulator.append(chunk);
      if (appended.isLeft()) return Left(appended.extract());
    }
    return Right(accumulator.take());
  } finally {
    accumulator.clear();
  }
}
