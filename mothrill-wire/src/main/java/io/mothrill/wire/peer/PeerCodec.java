package io.mothrill.wire.peer;

import io.mothrill.core.peer.PeerMessage;
import io.mothrill.wire.peer.generated.Envelope;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

/** The encoding of messages on connections between instances. */
public final class PeerCodec {

  private static final String FRAME_DECODER = "peerFrameDecoder";
  private static final String DECODER = "peerDecoder";
  private static final String FRAME_ENCODER = "peerFrameEncoder";
  private static final String ENCODER = "peerEncoder";

  private final PeerEncoder encoder;
  private final PeerDecoder decoder;

  /**
   * Creates a codec.
   *
   * @param encoder serializes messages
   * @param decoder parses messages
   */
  public PeerCodec(PeerEncoder encoder, PeerDecoder decoder) {
    this.encoder = encoder;
    this.decoder = decoder;
  }

  /**
   * Adds the handlers that turn bytes into envelopes and back.
   *
   * @param pipeline the pipeline of a connection
   */
  public void addTo(ChannelPipeline pipeline) {
    pipeline
        .addLast(FRAME_DECODER, new PeerFrameDecoder())
        .addLast(DECODER, new ProtobufDecoder(Envelope.getDefaultInstance()))
        .addLast(FRAME_ENCODER, new ProtobufVarint32LengthFieldPrepender())
        .addLast(ENCODER, new ProtobufEncoder());
  }

  /**
   * Removes the handlers; what they have not read yet goes to the next handler.
   *
   * @param pipeline the pipeline of a connection
   */
  public void removeFrom(ChannelPipeline pipeline) {
    pipeline.remove(ENCODER);
    pipeline.remove(FRAME_ENCODER);
    pipeline.remove(DECODER);
    pipeline.remove(FRAME_DECODER);
  }

  /**
   * Serializes a request that is the only one of its connection.
   *
   * @param message the message
   * @return the envelope
   */
  public Envelope encode(PeerMessage message) {
    return encoder.encode(message).build();
  }

  Envelope encodeRequest(PeerMessage message, long correlationId) {
    return encoder.encode(message).setCorrelationId(correlationId).build();
  }

  Envelope encodeReply(PeerMessage message, long correlationId) {
    return encoder.encode(message).setCorrelationId(correlationId).setReply(true).build();
  }

  /**
   * Parses a message.
   *
   * @param envelope the envelope
   * @return the message
   */
  public PeerMessage decode(Envelope envelope) {
    return decoder.decode(envelope);
  }
}
